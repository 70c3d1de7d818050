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

// FileSystem is the part of a file system that the journal needs. Its methods return the errors of package os.
type FileSystem interface {
	// OpenFile opens a file, as os.OpenFile does.
	OpenFile(path string, flag int, mode os.FileMode) (File, error)
	// Rename renames a file, as os.Rename does.
	Rename(from, to string) error
	// Remove removes a file, as os.Remove does.
	Remove(path string) error
}

// OSFileSystem is the operating system's file system.
type OSFileSystem struct{}

// OpenFile implements FileSystem.
func (OSFileSystem) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err // not f: a nil *os.File in a File is not equal to nil
	}
	return f, nil
}

// Rename implements FileSystem.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }
