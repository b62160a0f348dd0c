package forward

import "strconv"

// appendHead appends the head of a request in its HTTP/1.1 form to buf and returns the extended buffer.
func appendHead(buf []byte, attempt *Attempt) []byte {
	buf = append(buf, attempt.Method...)
	buf = append(buf, ' ')
	buf = append(buf, attempt.URI...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, attempt.Host...)
	buf = append(buf, "\r\n"...)
	for name, values := range attempt.Header {
		for _, value := range values {
			buf = append(buf, name...)
			buf = append(buf, ": "...)
			buf = append(buf, value...)
			buf = append(buf, "\r\n"...)
		}
	}
	if attempt.Body != nil {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(attempt.Body)), 10)
		buf = append(buf, "\r\n"...)
	}
	return append(buf, "\r\n"...)
}
