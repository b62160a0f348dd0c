// Package frame adds a header with a kind, a version and a checksum to the content of log records, so that damaged data and
// unknown versions are detected.
package frame
