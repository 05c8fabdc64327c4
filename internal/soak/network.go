package main

import "github.com/currantthread/currantthread/internal/emulator"

// link is the link from one node to the store, a runner or another node.
type link struct {
	*emulator.Link
	from, to string
}

// network is all links of all nodes.
type network []link

// between returns the links from one party to another; "" matches any.
func (n network) between(from, to string) network {
	var links network
	for _, l := range n {
		if (from == "" || l.from == from) && (to == "" || l.to == to) {
			links = append(links, l)
		}
	}
	return links
}

// each returns a function that changes all links.
func (n network) each(change func(*emulator.Link)) func() {
	return func() {
		for _, l := range n {
			change(l.Link)
		}
	}
}
