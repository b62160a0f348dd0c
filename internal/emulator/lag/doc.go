// Package lag delays what an emulated system shows.
package lag
