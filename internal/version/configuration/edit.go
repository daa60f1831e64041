package configuration

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/internal/version/key"
)

// Errors of AddKey and RemoveKey.
var (
	// ErrKeyExists means that an active key already has the ID.
	ErrKeyExists = eris.New("key already exists")
	// ErrKeyNotFound means that no active key has the ID.
	ErrKeyNotFound = eris.New("key not found")
	// ErrAccountNotFound means that no client account has the name.
	ErrAccountNotFound = eris.New("client account not found")
)

// AddKey returns the configuration with a key section appended. The rest of the
// document, comments included, is unchanged.
func AddKey(name string, content []byte, k key.Key) ([]byte, error) {
	s, err := Parse(name, content)
	if err != nil {
		return nil, err
	}
	if s.KeyActive(k.ID) {
		return nil, fmt.Errorf("add key %q: %w", k.ID, ErrKeyExists)
	}
	if _, ok := s.Account(k.Account); !ok {
		return nil, fmt.Errorf("add key %q of account %q: %w", k.ID, k.Account, ErrAccountNotFound)
	}
	var b bytes.Buffer
	b.Write(content)
	if len(content) > 0 && content[len(content)-1] != '\n' {
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "\n[%s %s]\n%s = %s\n%s = %s\n", kindKey, k.ID, keyAccount, k.Account, keyHash, k.Hash)
	if _, err := Parse(name, b.Bytes()); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// RemoveKey returns the configuration without the key with an ID. The rest of the
// document is unchanged; comments directly above the next section are kept.
func RemoveKey(name string, content []byte, id string) ([]byte, error) {
	s, err := Parse(name, content)
	if err != nil {
		return nil, err
	}
	if !s.KeyActive(id) {
		return nil, fmt.Errorf("remove key %q: %w", id, ErrKeyNotFound)
	}
	lines := strings.SplitAfter(string(content), "\n")
	start := findSection(lines, 0, kindKey+" "+id)
	end := findSection(lines, start+1, "")
	for next := end; end < len(lines) && next > start+1 && isCommentLine(lines[next-1]); next-- {
		end = next - 1
	}
	for start > 0 && end < len(lines) && strings.TrimSpace(lines[start-1]) == "" && strings.TrimSpace(lines[end]) == "" {
		start--
	}
	edited := []byte(strings.Join(append(lines[:start:start], lines[end:]...), ""))
	if _, err := Parse(name, edited); err != nil {
		return nil, err
	}
	return edited, nil
}

// findSection returns the index of the first line at or after from that opens a
// section with a header, or any section if header is empty. It returns len(lines)
// if there is none.
func findSection(lines []string, from int, header string) int {
	for i := from; i < len(lines); i++ {
		text := strings.TrimSpace(strings.TrimPrefix(lines[i], "\ufeff"))
		if !strings.HasPrefix(text, "[") {
			continue
		}
		found := strings.Join(strings.Fields(text[1:max(1, strings.LastIndexByte(text, ']'))]), " ")
		if header == "" || found == header {
			return i
		}
	}
	return len(lines)
}

func isCommentLine(line string) bool {
	text := strings.TrimSpace(line)
	return text != "" && (text[0] == '#' || text[0] == ';')
}
