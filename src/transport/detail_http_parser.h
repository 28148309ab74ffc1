#pragma once

#include <cstddef>

// The HTTP parser inside the HTTP library, whose package ships no header for it.
extern "C" {

struct phr_header {  // NOLINT(readability-identifier-naming): the library's name
  const char* name;
  size_t name_len;
  const char* value;
  size_t value_len;
};

struct phr_chunked_decoder {  // NOLINT(readability-identifier-naming): the library's name
  size_t bytes_left_in_chunk;
  char consume_trailer;
  char _hex_count;
  char _state;
};

// The size of the head, -1 for bytes that are no response, or -2 for an incomplete head.
int phr_parse_response(const char* data, size_t size, int* minor_version, int* status, const char** message,
                       size_t* message_size, struct phr_header* headers, size_t* header_count, size_t last_size);

// Decodes in place and sets `*size` to the bytes of the body. The bytes after the last chunk, -1 for an error, or -2
// when more chunks follow.
ptrdiff_t phr_decode_chunked(struct phr_chunked_decoder* decoder, char* data, size_t* size);
}
