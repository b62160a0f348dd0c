// Package topiclog reads topics of the platform's store in which each record has a key and the newest record of a key replaces the
// older ones. A Follower keeps a Handler up to date with a topic. A Cache holds a copy from which other routers can be served.
package topiclog
