package exchanger_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/exchanger"
)

// TestStatuses guards against an answer with a status that HTTP does not have which is skipped or passed on, and against
// interim answers without end. Such an answer is a broken one at once, not at the deadline, and its connection is closed: what
// follows on it may belong to it. A bytes-for-bytes valid answer follows each, which must not be taken for the answer.
func TestStatuses(t *testing.T) {
	t.Parallel()
	const final = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nhello"
	const withBody = "Content-Length: 5\r\n\r\nwrong"
	cases := map[string]struct {
		script string
		ok     bool
	}{
		"Zero":               {"HTTP/1.1 000 \r\n\r\n", false},
		"ZeroBody":           {"HTTP/1.1 000 Trouble\r\n" + withBody, false},
		"ZeroNoBody":         {"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n", false},
		"Below100":           {"HTTP/1.1 099 Trouble\r\n\r\n", false},
		"Below100Body":       {"HTTP/1.1 099 Trouble\r\n" + withBody, false},
		"Interim":            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", true},
		"InterimLast":        {"HTTP/1.1 199 Interim\r\n\r\n", true},
		"InterimBody":        {"HTTP/1.1 103 Early Hints\r\n" + withBody, false},
		"InterimChunks":      {"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"InterimWithoutEnd":  {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 2000), false},
		"Switching":          {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", false},
		"SwitchingBody":      {"HTTP/1.1 101 Switching Protocols\r\n" + withBody, false},
		"FourDigits":         {"HTTP/1.1 2000 OK\r\n\r\n", false},
		"FourDigitsBody":     {"HTTP/1.1 2000 OK\r\n" + withBody, false},
		"FourDigitsZero":     {"HTTP/1.1 0200 OK\r\n" + withBody, false},
		"Plus":               {"HTTP/1.1 +20 OK\r\n\r\n", false},
		"PlusBody":           {"HTTP/1.1 +20 OK\r\n" + withBody, false},
		"PlusThreeDigits":    {"HTTP/1.1 +200 OK\r\n" + withBody, false},
		"Minus":              {"HTTP/1.1 -20 OK\r\n\r\n", false},
		"MinusZero":          {"HTTP/1.1 -00 OK\r\n" + withBody, false},
		"MinusThreeDigits":   {"HTTP/1.1 -200 OK\r\n" + withBody, false},
		"InterimThenZero":    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\n\r\n", false},
		"InterimThenNothing": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 \r\n\r\n", false},
	}
	for name, c := range cases {
		for end, text := range map[string]string{"Followed": c.script + final, "Alone": c.script + "|SILENT"} {
			if c.ok && end == "Alone" {
				continue // The answer has not come yet.
			}
			t.Run(name+end, func(t *testing.T) {
				t.Parallel()
				p := exchanger.NewPool(startScriptedServer(t, text, answer("b", "second")), 4, time.Now)
				defer p.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				a, err := p.Do(ctx, request("a"))
				var broken *exchanger.BrokenError
				switch {
				case c.ok && (err != nil || string(a.Body) != "hello"):
					t.Fatalf("answer %d %q, %v; want the answer that follows", a.Status, a.Body, err)
				case !c.ok && !errors.As(err, &broken):
					t.Fatalf("answer %d %q, %v; want a BrokenError", a.Status, a.Body, err)
				case ctx.Err() != nil:
					t.Fatal("the request ended only at its deadline")
				}
				if a, err := p.Do(ctx, request("b")); err != nil || string(a.Body) != "second" {
					t.Errorf("next request: answer %q, %v; want \"second\"", a.Body, err)
				}
				if open, made := p.ConnectionCounts(); open != 1 || (made == 1) != c.ok {
					t.Errorf("%d connections open, %d opened; want the first one used again: %t", open, made, c.ok)
				}
			})
		}
	}
}
