package membership

import (
	"fmt"
	"strconv"
	"strings"
)

// Pool identifies one shard of the targets of one model in one availability zone. Each pool has one scheduler.
type Pool struct {
	// Zone is the availability zone.
	Zone string
	// Model is the name of the model or plain service.
	Model string
	// Shard is the number of the shard, from zero.
	Shard int
}

// ParsePool parses the form that Pool.String returns.
func ParsePool(text string) (Pool, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return Pool{}, fmt.Errorf("pool %q is not of the form zone/model/shard", text)
	}
	shard, err := strconv.Atoi(parts[2])
	if err != nil {
		return Pool{}, fmt.Errorf("pool %q has no shard number: %w", text, err)
	}
	return Pool{Zone: parts[0], Model: parts[1], Shard: shard}, nil
}

// String returns the availability zone, model and shard, joined by slashes.
func (p Pool) String() string {
	return p.Zone + "/" + p.Model + "/" + strconv.Itoa(p.Shard)
}
