package exchanger

import (
	"fmt"
	"net/http"
)

// checkInterim checks an answer with a status below 200. An error says that it is no interim answer that another one follows:
// its status is below 100, it switches the protocol (101), which no request asks for, or it has a body, which interim answers do
// not have, so that what follows may be a part of it. net/http accepts all of these, and a sign before two digits.
func checkInterim(resp *http.Response) error {
	switch {
	case resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("answer with the status %q", resp.Status)
	case resp.Header.Get("Content-Length") != "" || len(resp.TransferEncoding) > 0:
		return fmt.Errorf("interim answer with the status %q and a body", resp.Status)
	}
	return nil
}
