// Package membership keeps a router's view of the hosts: which routers live, which targets may get work, and which
// router holds which role.
package membership
