package httpserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"net/http"
	"strings"
)

const (
	contentTypeHTML = "text/html; charset=utf-8"
	contentTypeJSON = "application/json"
	contentTypeText = "text/plain; charset=utf-8"

	// pageTemplate is the name of the template that lays out a page.
	pageTemplate = "page"
)

// WriteText responds with one line of text.
func WriteText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", contentTypeText)
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, text) // the viewer may have disconnected
}

// WritePage responds with a page: HTML from the template "page", or JSON if the request asks for it. The page is
// rendered before the first byte is sent, so that an error gets a response of its own.
func WritePage(w http.ResponseWriter, r *http.Request, templates *template.Template, page any) {
	var body bytes.Buffer
	var err error
	contentType := contentTypeHTML
	if wantsJSON(r) {
		contentType = contentTypeJSON
		err = encodeJSON(&body, page)
	} else {
		err = templates.ExecuteTemplate(&body, pageTemplate, page)
	}
	if err != nil {
		WriteText(w, http.StatusInternalServerError, "the page could not be made: "+err.Error())
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body.Bytes()) // the viewer may have disconnected
}

func wantsJSON(r *http.Request) bool {
	return r.URL.Query().Get("as") == "json" || strings.Contains(r.Header.Get("Accept"), contentTypeJSON)
}

func encodeJSON(body *bytes.Buffer, page any) error {
	encoder := json.NewEncoder(body)
	encoder.SetIndent("", " ")
	return encoder.Encode(page)
}
