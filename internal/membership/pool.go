package membership

import (
	"fmt"
	"strconv"
	"strings"
)

// Pool names one shard of the targets of one model in one availability zone.
type Pool struct {
	// Zone is the availability zone.
	Zone string
	// Model is the model or service.
	Model string
	// Shard counts from zero.
	Shard int
}

// ParsePool reads the form that String writes.
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

// String returns availability zone, model and shard, joined by slashes.
func (p Pool) String() string {
	return p.Zone + "/" + p.Model + "/" + strconv.Itoa(p.Shard)
}
