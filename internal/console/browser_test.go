package console

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/chromedp/chromedp"
)

const (
	browserPath = "/usr/bin/chromium"

	phoneWidth  = 380 // pixels
	phoneHeight = 800 // pixels
)

// browser is a Chromium process that views a fixture's console.
type browser struct {
	t   *testing.T
	ctx context.Context
}

func startBrowser(t *testing.T) *browser {
	t.Helper()
	options := append(chromedp.DefaultExecAllocatorOptions[:],
		chromedp.ExecPath(browserPath),
		chromedp.NoSandbox,
		chromedp.UserDataDir(t.TempDir()),
		chromedp.Flag("disable-background-networking", true),
		chromedp.Flag("disable-component-update", true),
		chromedp.Flag("disable-quic", true),
	)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	ctx, cancelAllocator := chromedp.NewExecAllocator(ctx, options...)
	t.Cleanup(cancelAllocator)
	ctx, cancelBrowser := chromedp.NewContext(ctx)
	t.Cleanup(cancelBrowser)
	return &browser{t: t, ctx: ctx}
}

func (b *browser) perform(actions ...chromedp.Action[chromedp.Void]) {
	b.t.Helper()
	if err := chromedp.Do(b.ctx, actions...); err != nil {
		b.t.Fatal(err)
	}
}

func (b *browser) text(selector string) string {
	b.t.Helper()
	text, err := chromedp.Run(b.ctx, chromedp.Text(selector))
	if err != nil {
		b.t.Fatalf("text of %s: %v", selector, err)
	}
	return text
}

// TestEachPageRendersInABrowser views every page, follows a link, and receives a line of the live stream. It is skipped
// if Chromium is not installed.
func TestEachPageRendersInABrowser(t *testing.T) {
	if _, err := os.Stat(browserPath); err != nil {
		t.Skip("no browser at " + browserPath + " (Debian package chromium)")
	}
	fixture := startFixture(t, 6, 0)
	browser := startBrowser(t)
	url := "http://" + fixture.console.Addr()
	for _, path := range pagePaths {
		browser.perform(chromedp.Navigate(url + path))
		if browser.text("h1") == "" || !strings.Contains(browser.text("main"), "state as of") {
			t.Fatalf("%s: want a heading and the age of the view", path)
		}
	}
	browser.perform(chromedp.Navigate(url+"/replicas"), chromedp.WaitVisible("#live:not(:empty)"))
	if liveText := browser.text("#live"); !strings.HasPrefix(liveText, "Now: 3 forwarders") {
		t.Fatalf("line of the live stream on the page: %q", liveText)
	}
	if _, err := chromedp.RunResponse(browser.ctx, chromedp.Click("tbody a")); err != nil {
		t.Fatal(err)
	}
	if linkedHeading := browser.text("h1"); !strings.HasPrefix(linkedHeading, "Replica 127.0.0.") {
		t.Fatalf("the link to a replica leads to the page %q", linkedHeading)
	}
	// At a phone's width, only tables scroll horizontally.
	browser.perform(chromedp.EmulateViewport(phoneWidth, phoneHeight), chromedp.Navigate(url+"/forwarders"))
	compareWidth := chromedp.Evaluate[bool]("document.documentElement.scrollWidth > 380")
	if isTooWide, err := chromedp.Run(browser.ctx, compareWidth); err != nil || isTooWide {
		t.Fatalf("page is wider than a phone: %v, error %v", isTooWide, err)
	}
}
