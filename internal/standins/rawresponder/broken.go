package rawresponder

import "fmt"

// InvalidStatuses returns answers whose status is none, by what is wrong with them. Their heads have the given line.
func InvalidStatuses(line, body string) map[string]string {
	rest := fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)
	return map[string]string{
		"zero":                              "HTTP/1.1 000 None\r\n" + rest,
		"zero without a reason":             "HTTP/1.1 000\r\n" + rest,
		"below the interim ones":            "HTTP/1.1 099 Low\r\n" + rest,
		"with a sign":                       "HTTP/1.1 -00 None\r\n" + rest,
		"zero, a sound answer behind it":    "HTTP/1.1 000 None\r\n" + rest + "HTTP/1.1 200 OK\r\n" + rest,
		"zero without a body, the same":     "HTTP/1.1 000 None\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"protocol switched without request": "HTTP/1.1 101 Switching Protocols\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
	}
}
