package imitator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/turmericlift/turmericlift/supervisor"
)

// AnswerScript is what a backend server sends on a connection whose first request has arrived. It is read from a file, whose
// lines are the words below; those that begin with # are comments.
//
//	case NAME VERDICT [BYTES]        begins a script; BYTES is the size of the request's body, 0 if it is omitted
//	send "TEXT"                      sends a text, quoted as in Go
//	body BYTES                       sends the first bytes of RepeatedBody
//	wait MS                          waits, in milliseconds
//	finish                           ends the sending and waits until the other side's kernel has received all of it
//	read                             reads until the other side ends the connection
//	hold                             reads nothing and waits until the other side resets the connection
//	reset                            resets the connection
//
// At the end of its script the server closes the connection.
type AnswerScript struct {
	Name        string
	Verdict     AnswerVerdict
	UploadBytes int    // Size of the request's body, which the server leaves unread unless the script has it read.
	Body        string // What the steps with the word body send.
	steps       []answerStep
}

// AnswerVerdict says what a reader may take an answer for.
type AnswerVerdict string

// The verdicts.
const (
	AnswerSound  AnswerVerdict = "sound"
	AnswerBroken AnswerVerdict = "broken"
	// AnswerReset is the verdict on a whole answer whose connection is reset while its request is still being written. A
	// reader may take it for broken; package exchanger takes it for sound.
	AnswerReset AnswerVerdict = "reset"
)

// answerStep is a step of an AnswerScript.
type answerStep interface{ isAnswerStep() }

type (
	sendText   struct{ text string }
	waitFor    struct{ time time.Duration }
	endSending struct{}
	readToEnd  struct{}
	awaitReset struct{}
	resetConn  struct{}
)

func (sendText) isAnswerStep()   {}
func (waitFor) isAnswerStep()    {}
func (endSending) isAnswerStep() {}
func (readToEnd) isAnswerStep()  {}
func (awaitReset) isAnswerStep() {}
func (resetConn) isAnswerStep()  {}

// RepeatedBody returns a body of n bytes.
func RepeatedBody(n int) string {
	const unit = "0123456789abcdef"
	return strings.Repeat(unit, 1+n/len(unit))[:n]
}

// ReadAnswerScripts reads the scripts of a file.
func ReadAnswerScripts(path string) ([]AnswerScript, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var scripts []AnswerScript
	for n, line := range strings.Split(string(text), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		word, rest, _ := strings.Cut(line, " ")
		if word == "case" {
			s, err := parseCase(rest)
			if err != nil {
				return nil, fmt.Errorf("%s, line %d: %w", path, n+1, err)
			}
			scripts = append(scripts, s)
			continue
		}
		step, err := parseStep(word, rest)
		if err == nil && len(scripts) == 0 {
			err = fmt.Errorf("%q stands before the first case", line)
		}
		if err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", path, n+1, err)
		}
		s := &scripts[len(scripts)-1]
		s.steps = append(s.steps, step)
		if sent, ok := step.(sendText); ok && word == "body" {
			s.Body += sent.text
		}
	}
	return scripts, nil
}

// parseCase parses what follows the word case.
func parseCase(text string) (AnswerScript, error) {
	words := strings.Fields(text)
	if len(words) < 2 || len(words) > 3 {
		return AnswerScript{}, fmt.Errorf("case %q, want a name, a verdict, and a number of bytes or nothing", text)
	}
	s := AnswerScript{Name: words[0], Verdict: AnswerVerdict(words[1])}
	if !slices.Contains([]AnswerVerdict{AnswerSound, AnswerBroken, AnswerReset}, s.Verdict) {
		return AnswerScript{}, fmt.Errorf("verdict %q, want %s, %s or %s", s.Verdict, AnswerSound, AnswerBroken, AnswerReset)
	}
	if len(words) == 3 {
		n, err := strconv.ParseUint(words[2], 10, 31)
		if err != nil {
			return AnswerScript{}, fmt.Errorf("bytes of case %q: %w", words[0], err)
		}
		s.UploadBytes = int(n)
	}
	return s, nil
}

// parseStep parses a step from its word and what follows it.
func parseStep(word, rest string) (answerStep, error) {
	switch word {
	case "send":
		text, err := strconv.Unquote(rest)
		if err != nil {
			return nil, fmt.Errorf("text %s: %w", rest, err)
		}
		return sendText{text}, nil
	case "body", "wait":
		n, err := strconv.ParseUint(rest, 10, 31)
		if err != nil {
			return nil, fmt.Errorf("%s %q: %w", word, rest, err)
		}
		if word == "wait" {
			return waitFor{time.Duration(n) * time.Millisecond}, nil
		}
		return sendText{RepeatedBody(int(n))}, nil
	case "finish":
		return endSending{}, nil
	case "read":
		return readToEnd{}, nil
	case "hold":
		return awaitReset{}, nil
	case "reset":
		return resetConn{}, nil
	}
	return nil, fmt.Errorf("unknown word %q", word)
}

// Play sends the answer on a connection whose request has arrived. unread has the bytes that were read from the connection
// beyond the request's head. Its errors are those of a connection that the other side has ended.
func (s AnswerScript) Play(c *net.TCPConn, unread io.Reader) error {
	for _, step := range s.steps {
		var err error
		switch step := step.(type) {
		case sendText:
			_, err = io.WriteString(c, step.text)
		case waitFor:
			time.Sleep(step.time)
		case endSending:
			if err = c.CloseWrite(); err == nil {
				err = awaitState(c, func(state uint8) bool { return state != stateFinWait1 })
			}
		case readToEnd:
			_, err = io.Copy(io.Discard, io.MultiReader(unread, c))
		case awaitReset:
			err = awaitState(c, func(state uint8) bool { return state == stateClose })
		case resetConn:
			_ = c.SetLinger(0) // It fails only on a connection that has ended.
			return c.Close()
		}
		if err != nil {
			return err
		}
	}
	return c.Close()
}

// States of a connection, as the kernel numbers them: TCP_FIN_WAIT1 and TCP_CLOSE.
const (
	stateFinWait1 = 4
	stateClose    = 7
)

// awaitState waits until the kernel's state of a connection is a wanted one. It returns an error if c is closed meanwhile.
func awaitState(c *net.TCPConn, wanted func(state uint8) bool) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	for {
		var info *unix.TCPInfo
		var infoErr error
		if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
			return err
		}
		if infoErr != nil {
			return infoErr
		}
		if wanted(info.State) {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
}

// ServeAnswerScript plays a script on each connection to the address that it returns, until ctx ends. It then closes the
// channel.
func ServeAnswerScript(ctx context.Context, s AnswerScript) (address string, ended <-chan struct{}, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		serveAnswerScript(ctx, l, s)
	}()
	return l.Addr().String(), done, nil
}

// serveAnswerScript plays a script on each connection of a listener, until ctx ends.
func serveAnswerScript(ctx context.Context, l net.Listener, s AnswerScript) {
	connections := supervisor.New(ctx)
	defer connections.Close()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		connections.Go(func(ctx context.Context) {
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			defer stop()
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			if _, err := http.ReadRequest(reader); err == nil {
				_ = s.Play(c.(*net.TCPConn), reader) // An error means that the other side has ended the connection.
			}
		})
	}
}
