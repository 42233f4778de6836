// Package across shows several governors side by side, from their own consoles: what each believes, how old that is, and where they
// disagree. One that no longer answers is shown with what it said last.
//
// Guarantees: a page never waits for a governor. What is compared is not older than freshFor; what is older is shown with its age and
// compared with nothing. A disagreement is told from the usual passing one by the time that it has stood.
//
// Caveats: it sees what consoles say, at most a period old, and rows beyond what a console puts on a page (5,000) are not
// compared. Governors are told apart by the addresses given; two of one name are named as a fault.
//
// belief.go is what a governor's console said, compare.go finds and follows disagreements (free of I/O), poll.go asks, pages.go
// answers viewers.
package comparison
