package pubsub

import (
	"container/list"
	"fmt"

	"peppervale/internal/model"
)

// maxProxyNames is the largest number of names: model.ProxyID has 16 bits.
const maxProxyNames = 65535

// proxyNames gives each proxy name a number, which the name keeps while its proxy has a stream, and as long afterwards
// as the number is not needed for a new name. So names that come once and never again do not use the numbers up.
type proxyNames struct {
	byName map[string]*numberedName
	idle   *list.List // names (*numberedName) without a stream, the longest idle first
}

// numberedName is a name with its number.
type numberedName struct {
	name    string
	number  model.ProxyID
	element *list.Element // in proxyNames.idle; nil while the name is in use
}

func newProxyNames() proxyNames {
	return proxyNames{byName: map[string]*numberedName{}, idle: list.New()}
}

// number returns the number of a name. A name that is not known gets the next one or, if limit names are known, that of
// the name that has been idle for longest, which is forgotten. It returns an error if all names are in use.
func (p *proxyNames) number(name string, limit int) (number model.ProxyID, forgotten bool, err error) {
	if known := p.byName[name]; known != nil {
		return known.number, false, nil
	}
	number = model.ProxyID(len(p.byName))
	if len(p.byName) >= limit {
		oldest := p.idle.Front()
		if oldest == nil {
			return 0, false, fmt.Errorf("JOIN: proxies of %d names are joined, no more are taken", len(p.byName))
		}
		number = p.forget(oldest)
		forgotten = true
	}
	added := &numberedName{name: name, number: number}
	added.element = p.idle.PushBack(added)
	p.byName[name] = added
	return number, forgotten, nil
}

// forget removes an idle name and returns its number.
func (p *proxyNames) forget(element *list.Element) model.ProxyID {
	removed := p.idle.Remove(element).(*numberedName)
	delete(p.byName, removed.name)
	return removed.number
}

// use marks a known name as one whose proxy has a stream.
func (p *proxyNames) use(name string) {
	if known := p.byName[name]; known.element != nil {
		p.idle.Remove(known.element)
		known.element = nil
	}
}

// release marks a known name as idle.
func (p *proxyNames) release(name string) {
	if known := p.byName[name]; known != nil && known.element == nil {
		known.element = p.idle.PushBack(known)
	}
}
