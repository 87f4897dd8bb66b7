/// \file
/// Incremental HTTP/1.1 message parsers.
#pragma once

#include "http/HttpMessage.h"

#include <memory>
#include <string>
#include <string_view>

namespace godwitlift {

/// Result of parsing the bytes received so far.
enum class ParseState : std::uint8_t {
    NeedsMore,
    HeadComplete, ///< Not returned by feed(), which goes on with the body.
    Complete,
    Malformed, ///< Not HTTP, or ambiguous framing, which permits request smuggling.
    HeadTooLarge,
    BodyTooLarge
};

/// Parses one request. Bytes after its end stay in the input.
class RequestParser final
{
public:
    RequestParser(std::size_t headLimit, std::size_t bodyLimit);
    ~RequestParser();

    /// Consumes bytes from the front of \p input.
    ParseState feed(std::string &input);
    bool hasHead() const { return m_hasHead; }
    /// Memory that the incomplete body occupies.
    std::size_t heldBytes() const;
    /// Valid once the head is complete.
    RequestHead &head() { return m_request.head; }
    /// Valid once the request is complete.
    HttpRequest takeRequest() { return std::move(m_request); }

private:
    struct Parser;

    ParseState parseHead(std::string &input);
    bool isFramingUnambiguous() const;

    std::unique_ptr<Parser> m_parser;
    std::size_t m_headLimit;
    std::size_t m_bodyLimit;
    std::size_t m_scannedBytes = 0; ///< Already searched for the end of the head.
    bool m_hasHead = false;
    HttpRequest m_request;
};

/// Parses one response. Interim (1xx) responses are skipped.
class ResponseParser final
{
public:
    explicit ResponseParser(bool isHeadMethod);
    ~ResponseParser();

    /// Consumes bytes from the front of \p input and appends decoded body bytes to \p body.
    ParseState feed(std::string &input, std::string &body);
    /// The peer closed the connection in an orderly way. Returns true if that completes the
    /// response.
    bool finishAtEndOfStream();
    bool hasHead() const { return m_hasHead; }
    /// Valid once the head is complete.
    const ResponseHead &head() const { return m_head; }

private:
    struct Parser;

    void reset();
    ParseState parseHead(std::string &input);

    std::unique_ptr<Parser> m_parser;
    bool m_isHeadMethod;
    bool m_hasHead = false;
    unsigned m_interimCount = 0;
    ResponseHead m_head;
};

} // namespace godwitlift
