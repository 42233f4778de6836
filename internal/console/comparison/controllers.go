package comparison

import "fmt"

// compareControllers returns the disagreements about the controllers themselves: decreased incarnations and duplicate
// names.
func (t *tracker) compareControllers(controllers []polledController) []disagreement {
	return append(t.decreasedIncarnations(controllers), duplicateNames(controllers)...)
}

// decreasedIncarnations returns the controllers that report an earlier incarnation than before, and records the highest
// incarnation of each controller.
func (t *tracker) decreasedIncarnations(controllers []polledController) []disagreement {
	var disagreements []disagreement
	for _, controller := range controllers {
		view := controller.view
		highest := t.incarnations[controller.address]
		if view.incarnation >= highest {
			t.incarnations[controller.address] = view.incarnation
			continue
		}
		report := fmt.Sprintf("life %d, after %d", view.incarnation, highest)
		disagreements = append(disagreements, disagreement{
			Kind:    incarnationDecreased,
			Subject: view.name,
			Sides:   []side{{Controller: view.name, Report: report}},
		})
	}
	return disagreements
}

// duplicateNames returns a disagreement for each name that several controllers share.
func duplicateNames(controllers []polledController) []disagreement {
	sidesByName := map[string][]side{}
	for _, controller := range controllers {
		view := controller.view
		report := fmt.Sprintf("life %d at %s", view.incarnation, controller.address)
		sidesByName[view.name] = append(sidesByName[view.name], side{Controller: view.name, Report: report})
	}
	var disagreements []disagreement
	for name, sides := range sidesByName {
		if len(sides) > 1 {
			disagreements = append(disagreements, disagreement{Kind: duplicateName, Subject: name, Sides: sides})
		}
	}
	return disagreements
}
