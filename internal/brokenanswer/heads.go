package brokenanswer

import (
	"slices"
	"strconv"
	"strings"
)

// InvalidStatuses returns answers whose status line is none, by that line. All have a body and the given header
// lines.
func InvalidStatuses(body string, lines ...string) map[string]Answer {
	statusLines := []string{
		"HTTP/1.1  200 Two blanks", "HTTP/1.1\t200 Tab", "HTTP/1.1 200\tTab", "HTTP/1.1 200 NUL\x00", "HTTP/1.1 200 Escape\x1b", "HTTP/2.0 200 Version", "HTTP/0.9 200 Version", "HTTP/1.x 200 Version", "http/1.1 200 Version",
	}
	for _, status := range []string{"000", "007", "099", "-00", "+20", "600", "999", "20", "2000", "2x0"} {
		statusLines = append(statusLines, "HTTP/1.1 "+status, "HTTP/1.1 "+status+" Reason")
	}
	answers := make(map[string]Answer)
	for _, line := range statusLines {
		answers[line] = newAnswer(line, append([]string{length(body)}, lines...), body)
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
		answers["name with "+name] = newAnswer(statusOK, append(append([]string{length(body)}, lines...), field), body)
		answers["last name with "+name] = newAnswer(statusOK, append(slices.Clone(lines), field), body)
		answers["first name with "+name] = newAnswer(statusOK, append([]string{field, length(body)}, lines...), body)
	}
	for name, field := range map[string]string{
		"length with blank after it": "Content-Length : 4", "length with blank before it": " Content-Length: 4", "length with tab before it": "\tContent-Length: 4",
		"length with control byte": "Content-Length\x01: 4", "chunks with blank after it": "Transfer-Encoding : chunked", "chunks with blank before it": " Transfer-Encoding: chunked",
	} {
		answers[name] = newAnswer(statusOK, append(slices.Clone(lines), field), body)
	}
	return answers
}

const statusOK = "HTTP/1.1 200 OK"

func length(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) }

func newAnswer(statusLine string, lines []string, body string) Answer {
	return Answer(statusLine + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n" + body)
}
