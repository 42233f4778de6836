package console

import "net/url"

// settingsPage shows the names and values of the settings in force.
func (s *Server) settingsPage(*pageModel, url.Values) any {
	return s.instance.Settings()
}
