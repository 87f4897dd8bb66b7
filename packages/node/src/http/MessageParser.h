/// \file
/// Incremental parsing of HTTP messages from bytes as they come.
#pragma once

#include "http/HttpMessage.h"

#include <memory>
#include <string>
#include <string_view>

namespace godwitlift {

/// What a parser made of the bytes so far.
enum class ParseState : std::uint8_t {
    NeedsMore,
    HeadComplete, ///< The head has just been completed; the body follows.
    Complete,
    Malformed, ///< No HTTP, or framing that two readers could understand differently.
    HeadTooLarge,
    BodyTooLarge
};

/// Parses one request. Bytes after its end are left in the input.
class RequestParser final
{
public:
    RequestParser(std::size_t headLimit, std::size_t bodyLimit);
    ~RequestParser();

    /// Takes bytes from the front of \p input.
    ParseState feed(std::string &input);
    bool hasHead() const { return m_hasHead; }
    /// Valid after the head is complete.
    RequestHead &head() { return m_request.head; }
    /// Valid when complete.
    HttpRequest takeRequest() { return std::move(m_request); }

private:
    struct Parser;

    ParseState parseHead(std::string &input);
    bool isFramingSound() const;

    std::unique_ptr<Parser> m_parser;
    std::size_t m_headLimit;
    std::size_t m_bodyLimit;
    std::size_t m_scanned = 0; ///< Bytes already searched for the end of the head.
    bool m_hasHead = false;
    HttpRequest m_request;
};

/// Parses one response. Interim (1xx) responses are skipped.
class ResponseParser final
{
public:
    explicit ResponseParser(bool isHeadMethod);
    ~ResponseParser();

    /// Takes bytes from the front of \p input and appends what belongs to the body to \p body.
    ParseState feed(std::string &input, std::string &body);
    /// The connection ended in order. True if that completes the response.
    bool finishAtEnd();
    bool hasHead() const { return m_hasHead; }
    /// Valid after the head is complete.
    const ResponseHead &head() const { return m_head; }

private:
    struct Parser;

    void reset();
    ParseState parseHead(std::string &input);

    std::unique_ptr<Parser> m_parser;
    bool m_isHeadMethod;
    bool m_hasHead = false;
    ResponseHead m_head;
};

} // namespace godwitlift
