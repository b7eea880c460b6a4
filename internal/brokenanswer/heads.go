package brokenanswer

import (
	"slices"
	"strconv"
	"strings"
)

// InvalidStatuses returns answers whose status is none, by that status. All have a body and the given header
// lines.
func InvalidStatuses(body string, lines ...string) map[string]Answer {
	answers := make(map[string]Answer)
	for _, status := range []string{"000", "007", "099", "-00", "+20", "600", "999", "20", "2000", "2x0"} {
		answers["status "+status] = newAnswer(status, append([]string{length(body)}, lines...), body)
	}
	return answers
}

// InvalidFieldNames returns answers with status 200 in whose head the name of a field is none, by what is wrong
// with it. All have a body and the given header lines.
func InvalidFieldNames(body string, lines ...string) map[string]Answer {
	answers := make(map[string]Answer)
	for name, field := range map[string]string{
		"blank before the colon": "X-A : v", "blank inside": "X A: v", "tab before the colon": "X-A\t: v", "tab inside": "X\tA: v",
		"leading blank": " X-A: v", "leading tab": "\tX-A: v", "blank alone": " : v", "nothing": ": v", "NUL": "X\x00A: v",
		"escape": "X\x1bA: v", "carriage return": "X\rA: v", "delete": "X-A\x7f: v",
	} {
		answers["name with "+name] = newAnswer("200", append(append([]string{length(body)}, lines...), field), body)
		answers["last name with "+name] = newAnswer("200", append(slices.Clone(lines), field), body)
		answers["first name with "+name] = newAnswer("200", append([]string{field, length(body)}, lines...), body)
	}
	for name, field := range map[string]string{
		"length with blank after it": "Content-Length : 4", "length with blank before it": " Content-Length: 4", "length with tab before it": "\tContent-Length: 4",
		"length with control byte": "Content-Length\x01: 4", "chunks with blank after it": "Transfer-Encoding : chunked", "chunks with blank before it": " Transfer-Encoding: chunked",
	} {
		answers[name] = newAnswer("200", append(slices.Clone(lines), field), body)
	}
	return answers
}

func length(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) }

func newAnswer(status string, lines []string, body string) Answer {
	return Answer("HTTP/1.1 " + status + " Text\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n" + body)
}
