package journal

import (
	"io"
	"os"
)

// File is an open file of the state folder.
type File interface {
	io.Reader
	io.Writer
	io.Closer
}

// FileSystem is the part of a file system that the journal needs. Its errors are those of package os.
type FileSystem interface {
	OpenFile(path string, flag int, mode os.FileMode) (File, error)
	Rename(from, to string) error
	Remove(path string) error
}

// OSFileSystem is the operating system's file system.
type OSFileSystem struct{}

func (OSFileSystem) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err // a nil *os.File would be a File that is not nil
	}
	return f, nil
}

func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (OSFileSystem) Remove(path string) error { return os.Remove(path) }
