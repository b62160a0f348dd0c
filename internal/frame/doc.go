// Package frame marks the content of log records, so that garbage and unknown versions are recognised.
package frame
