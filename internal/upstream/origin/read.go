package origin

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"shelfproxy/internal/upstream"
)

// maxInterim bounds the number of 1xx responses ahead of a final one.
const maxInterim = 8

// trailerEOF is the text of an error that net/http does not export: the input ended within a trailer.
const trailerEOF = "http: unexpected EOF reading trailer"

// incompleteAtEOF returns errIncomplete for an error that says that the input ended, and any other error as it is.
func incompleteAtEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || err != nil && err.Error() == trailerEOF {
		return errIncomplete
	}
	return err
}

// readResponse reads one final response, and the interim ones that may come ahead of it. The error is errIncomplete if more bytes
// are needed. Any other error says that the response is malformed.
func (d *decoder) readResponse(ended bool) (upstream.Response, error) {
	httpResponse, err := d.readFinalHeader()
	if err != nil {
		return upstream.Response{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }() // the body is read from memory, so closing it releases nothing
	body, err := d.readBody(httpResponse, ended)
	if err != nil {
		return upstream.Response{}, err
	}
	return responseOf(httpResponse, body), nil
}

// readFinalHeader reads headers up to that of the final response. Status 101 is malformed, as the connection would speak another
// protocol after it.
func (d *decoder) readFinalHeader() (*http.Response, error) {
	for interim := 0; ; interim++ {
		httpResponse, err := d.readHeader()
		if err != nil {
			return nil, err
		}
		if httpResponse.StatusCode >= http.StatusOK {
			return httpResponse, nil
		}
		if interim >= maxInterim || httpResponse.StatusCode == http.StatusSwitchingProtocols {
			return nil, upstream.ErrMalformedResponse
		}
	}
}

// readHeader reads one header once the buffer has all of it: net/http takes half a line at the end of the input for a complete
// line.
func (d *decoder) readHeader() (*http.Response, error) {
	unread := d.buffer[d.end-d.unread() : d.end]
	if !bytes.Contains(unread, []byte("\n\r\n")) && !bytes.Contains(unread, []byte("\n\n")) {
		return nil, errIncomplete
	}
	httpResponse, err := http.ReadResponse(d.reader, nil)
	return httpResponse, incompleteAtEOF(err)
}

// readBody returns the body. The value outlives the decoder's buffer, so a short one is copied, and a long one takes the buffer
// over.
func (d *decoder) readBody(httpResponse *http.Response, ended bool) ([]byte, error) {
	maxBody := d.maxValue
	if httpResponse.ContentLength > int64(maxBody) {
		return nil, upstream.ErrMalformedResponse
	}
	if httpResponse.ContentLength >= 0 {
		return d.readBodyOfLength(httpResponse.Body, int(httpResponse.ContentLength))
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, int64(maxBody)+1))
	switch {
	case len(body) > maxBody:
		return nil, upstream.ErrMalformedResponse
	case err != nil:
		return nil, incompleteAtEOF(err)
	case len(httpResponse.TransferEncoding) == 0 && !ended: // the body ends with the connection
		return nil, errIncomplete
	}
	return body, nil
}

func (d *decoder) readBodyOfLength(reader io.Reader, length int) ([]byte, error) {
	if available := d.unread(); available < length {
		d.needed = d.end + length - available
		return nil, errIncomplete
	}
	if length > chunkSize { // the value takes the buffer over: a copy would need its memory twice
		d.isBufferTaken = true
		start := d.end - d.unread()
		_, err := io.Copy(io.Discard, reader)
		return d.buffer[start : start+length : start+length], incompleteAtEOF(err)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, incompleteAtEOF(err)
}
