package cmd

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// addKeyCommand adds the command key, which generates an API key.
func (a *app) addKeyCommand() {
	command := a.kingpin.Command("key", "Generate a random API key and print it with its hash.")
	a.addJSONFlag(command)
	command.Action(a.action(func(context.Context) error {
		key := rand.Text()
		sum := sha256.Sum256([]byte(key))
		hash := hex.EncodeToString(sum[:])
		return a.printResult(map[string]string{"key": key, "hash": hash}, "key hash", [][]string{{key, hash}})
	}))
}
