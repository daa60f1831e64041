package backend

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
)

// ErrNoFinalStatus means that the backend server sent an answer whose status is none of 200 to
// 599, or too many interim answers before one. Whether the request has run is unknown.
var ErrNoFinalStatus = eris.New("the answer of the backend server has no final status")

// ErrMalformedField means that a line in the head of an answer is no header field, or has a
// name that HTTP does not allow. Whether the request has run is unknown.
var ErrMalformedField = eris.New("the answer of the backend server has a malformed header field")

// maxInterimAnswers limits the interim answers to one request.
const maxInterimAnswers = 100

// readAnswer reads interim answers and then a final one. The parser is given only heads that
// are checked here: it takes status 000 for one that is not set and returns 200, accepts
// blanks in names, and ends a head at a line feed alone.
func readAnswer(reader *bufio.Reader, response *fasthttp.Response) error {
	for range maxInterimAnswers {
		status, err := peekHead(reader)
		switch {
		case err != nil:
			return err
		case isInterim(status):
			if err := response.Header.Read(reader); err != nil {
				return fmt.Errorf("read interim answer: %w", err)
			}
		default:
			return response.ReadLimitBody(reader, maxResponseBytes)
		}
	}
	return fmt.Errorf("%d interim answers: %w", maxInterimAnswers, ErrNoFinalStatus)
}

// isInterim reports whether another answer follows one with a status. After 101 another
// protocol would.
func isInterim(status int) bool {
	return status >= fasthttp.StatusContinue && status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
}

// peekHead returns the status of the next head, which is interim or final, without consuming
// the head. It skips the empty lines before the head, as the parser does.
func peekHead(reader *bufio.Reader) (int, error) {
	for wanted := 1; ; wanted = reader.Buffered() + 1 {
		if _, err := reader.Peek(wanted); err != nil {
			return 0, fmt.Errorf("read head: %w", err)
		}
		buffered, err := reader.Peek(reader.Buffered())
		if err != nil {
			return 0, fmt.Errorf("read head: %w", err)
		}
		line, fields, ok := firstLine(buffered)
		if !ok {
			continue
		}
		status, err := parseStatus(line)
		if err != nil {
			return 0, err
		}
		complete, err := checkFields(fields)
		if err != nil {
			return 0, err
		}
		if complete {
			return status, nil
		}
	}
}

// firstLine returns the first line that is not empty, if it is complete, and the text after it.
func firstLine(text []byte) (line, rest []byte, ok bool) {
	for {
		line, rest, ended := bytes.Cut(text, []byte("\n"))
		if !ended {
			return nil, nil, false
		}
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 {
			return line, rest, true
		}
		text = rest
	}
}

// checkFields checks the names of the header fields that have arrived, and reports whether
// that is all of them. A line that begins with a blank is malformed too: folded lines are
// obsolete, and such a line may as well be a field, such as one with the length.
func checkFields(text []byte) (complete bool, err error) {
	for {
		line, rest, ended := bytes.Cut(text, []byte("\n"))
		switch {
		case !ended:
			return false, nil
		case string(line) == "\r":
			return true, nil
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !httpguts.ValidHeaderFieldName(string(name)) {
			return false, fmt.Errorf("name %.40q: %w", name, ErrMalformedField)
		}
		text = rest
	}
}

// parseStatus returns the status in a status line, which is interim or final.
func parseStatus(line []byte) (int, error) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	value, err := strconv.ParseUint(string(digits), 10, 16)
	status := int(value)
	if err != nil || len(digits) != 3 || !isInterim(status) && !exchange.IsFinalStatus(status) {
		return 0, fmt.Errorf("status %.8q: %w", digits, ErrNoFinalStatus)
	}
	return status, nil
}
