package cmd

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// addKey adds the command that makes a key.
func (a *app) addKey() {
	command := a.kingpin.Command("key", "Make a random key and print it with its hash.")
	a.withJSON(command)
	command.Action(a.run(func(context.Context) error {
		key := rand.Text()
		sum := sha256.Sum256([]byte(key))
		hash := hex.EncodeToString(sum[:])
		return a.print(map[string]string{"key": key, "hash": hash}, "key hash", [][]string{{key, hash}})
	}))
}
