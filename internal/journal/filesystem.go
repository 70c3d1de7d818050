package journal

import (
	"io"
	"os"
)

// File is an open file of the state directory.
type File interface {
	io.Reader
	io.Writer
	io.Closer
}

// FileSystem is the part of a file system that the journal needs. Its errors are those of package os.
type FileSystem interface {
	// OpenFile is os.OpenFile.
	OpenFile(path string, flag int, mode os.FileMode) (File, error)
	// Rename is os.Rename.
	Rename(from, to string) error
	// Remove is os.Remove.
	Remove(path string) error
}

// OSFileSystem is the operating system's file system.
type OSFileSystem struct{}

// OpenFile implements FileSystem.
func (OSFileSystem) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err // f is a nil *os.File, which is not equal to a nil File.
	}
	return f, nil
}

// Rename implements FileSystem.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }
