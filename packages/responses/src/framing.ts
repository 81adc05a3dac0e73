/** What marks the end of a response's body; "close" is its connection's end. */
export type ResponseFraming = "length" | "chunked" | "close";

/** Headers of a response by lower-case name. */
export type FramingHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/**
 * Transfer encodings of which the last is chunked. Others end with their
 * connection (RFC 9112, section 6.3). The parser takes one with a tab at its
 * end for another one.
 */
const CHUNKED_PATTERN = /(?:^|,)[\t ]*chunked$/i;

/** Returns how the response with these headers is framed. */
export function framingOf(headers: FramingHeaders): ResponseFraming {
  const encodings = [headers["transfer-encoding"] ?? []].flat();
  const last = encodings.at(-1);
  if (last !== undefined) {
    return CHUNKED_PATTERN.test(last) ? "chunked" : "close";
  }
  return headers["content-length"] === undefined ? "close" : "length";
}
