package console

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/chromedp/chromedp"
)

// A real browser reads every page, follows a link, and its live line comes. Skipped where no browser is installed.
func TestInABrowser(t *testing.T) {
	const browser = "/usr/bin/chromium"
	if _, err := os.Stat(browser); err != nil {
		t.Skip("no browser at " + browser + " (Debian package chromium)")
	}
	d := open(t, 6, 0)
	options := append(chromedp.DefaultExecAllocatorOptions[:], chromedp.ExecPath(browser), chromedp.NoSandbox, chromedp.UserDataDir(t.TempDir()),
		chromedp.Flag("disable-background-networking", true), chromedp.Flag("disable-component-update", true), chromedp.Flag("disable-quic", true))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ctx, stop := chromedp.NewExecAllocator(ctx, options...)
	defer stop()
	ctx, end := chromedp.NewContext(ctx)
	defer end()
	base := "http://" + d.pages.Addr()
	text := func(selector string) string {
		t.Helper()
		got, err := chromedp.Run(ctx, chromedp.Text(selector))
		if err != nil {
			t.Fatalf("%s: %v", selector, err)
		}
		return got
	}
	do := func(steps ...chromedp.Action[chromedp.Void]) {
		t.Helper()
		if err := chromedp.Do(ctx, steps...); err != nil {
			t.Fatal(err)
		}
	}
	for _, path := range everyPage {
		do(chromedp.Navigate(base + path))
		if text("h1") == "" || !strings.Contains(text("main"), "as believed") {
			t.Fatalf("%s does not read", path)
		}
	}
	do(chromedp.Navigate(base+"/replicas"), chromedp.WaitVisible("#live:not(:empty)"))
	if live := text("#live"); !strings.HasPrefix(live, "Now: 3 forwarders") {
		t.Fatalf("live line %q", live)
	}
	if _, err := chromedp.RunResponse(ctx, chromedp.Click("tbody a")); err != nil {
		t.Fatal(err)
	}
	if followed := text("h1"); !strings.HasPrefix(followed, "Replica 127.0.0.") {
		t.Fatalf("a link leads to %q", followed)
	}
	// At a phone's width nothing but tables scrolls sideways.
	do(chromedp.EmulateViewport(380, 800), chromedp.Navigate(base+"/forwarders"))
	if wide, err := chromedp.Run(ctx, chromedp.Evaluate[bool]("document.documentElement.scrollWidth > 380")); err != nil || wide {
		t.Fatalf("wider than a phone: %v, %v", wide, err)
	}
}
