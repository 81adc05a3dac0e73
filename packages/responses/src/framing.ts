/** What marks the end of a response's body; "close" is its connection's end. */
export type ResponseFraming = "length" | "chunked" | "close";

/** Headers of a response by lower-case name. */
export type FramingHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Returns how the response with these headers is framed. */
export function framingOf(headers: FramingHeaders): ResponseFraming {
  if (headers["transfer-encoding"] !== undefined) return "chunked";
  return headers["content-length"] === undefined ? "close" : "length";
}
