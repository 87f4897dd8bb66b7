/// \file
/// Message parsers on top of Boost.Beast, with additional checks for ambiguous framing.
#include "http/MessageParser.h"

#include "godwitlift/base/FieldSyntax.h"
#include "http/GrowingBuffer.h"

#include <absl/strings/ascii.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <limits>

namespace godwitlift {

namespace {

namespace http = boost::beast::http;

/// Largest response head that is accepted from a backend server, in bytes.
constexpr std::size_t ResponseHeadLimit = 65'536;
/// Interim responses before a response; a server that sends more never begins the response itself.
constexpr unsigned InterimResponseLimit = 16;
/// Largest line of a chunk size and largest trailer, in bytes. The parser consumes them only as a
/// whole, so that they stay in the input until then.
constexpr std::size_t ChunkMetadataLimit = 16'384;

/// Body type whose content can be taken out while parsing goes on. Unlike Beast's string_body it
/// does not reserve memory for the declared content length.
struct IncrementalBody
{
    using value_type = std::string;

    class reader // NOLINT(readability-identifier-naming): the name that Beast requires.
    {
    public:
        template<bool isRequest, class Fields>
        reader(http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {}
        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &error)
        {
            error = {};
            if (length)
                m_announcedBytes = *length;
        }
        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t size = 0;
            for (auto it = boost::asio::buffer_sequence_begin(buffers);
                 it != boost::asio::buffer_sequence_end(buffers); ++it) {
                const boost::asio::const_buffer piece = *it;
                reserveFor(m_body, m_body.size() + piece.size(), m_announcedBytes);
                m_body.append(static_cast<const char *>(piece.data()), piece.size());
                size += piece.size();
            }
            return size;
        }
        void finish(boost::system::error_code &error) { error = {}; }

    private:
        value_type &m_body;
        std::size_t m_announcedBytes = std::numeric_limits<std::size_t>::max();
    };
};

template<typename Fields>
HeaderFields copyFields(const Fields &source)
{
    HeaderFields fields;
    for (const auto &field : source) {
        fields.add(std::string(field.name_string().data(), field.name_string().size()),
                   std::string(field.value().data(), field.value().size()));
    }
    return fields;
}

/// Line folding of header fields is obsolete, and implementations interpret it differently.
bool hasFoldedField(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos
           || head.find("\r\n\t") != std::string_view::npos;
}

ParseState parseStateOf(const boost::system::error_code &error)
{
    if (error == http::error::body_limit)
        return ParseState::BodyTooLarge;
    if (error == http::error::header_limit)
        return ParseState::HeadTooLarge;
    return ParseState::Malformed;
}

/// Feeds \p input to the parser once and removes the consumed bytes.
template<typename Parser>
boost::system::error_code feedOnce(Parser &parser, std::string &input)
{
    boost::system::error_code error;
    const std::size_t consumed = parser.put(boost::asio::buffer(input), error);
    input.erase(0, consumed);
    return error;
}

/// Feeds \p input to the parser until the body is complete or the input is used up.
template<typename Parser>
ParseState feedBody(Parser &parser, std::string &input)
{
    // Removes the consumed bytes at the end, not for each of many small chunks.
    std::size_t offset = 0;
    while (!parser.is_done() && offset < input.size()) {
        boost::system::error_code error;
        const std::size_t consumed = parser.put(
                boost::asio::buffer(input.data() + offset, input.size() - offset), error);
        offset += consumed;
        if (error == http::error::need_more)
            break;
        if (error)
            return parseStateOf(error);
        if (consumed == 0)
            break;
    }
    input.erase(0, offset);
    if (parser.is_done())
        return ParseState::Complete;
    return input.size() > ChunkMetadataLimit ? ParseState::Malformed : ParseState::NeedsMore;
}

} // namespace

struct RequestParser::Parser
{
    http::request_parser<IncrementalBody> parser;
};

RequestParser::RequestParser(std::size_t headLimit, std::size_t bodyLimit)
    : m_parser(std::make_unique<Parser>())
    , m_headLimit(headLimit)
    , m_bodyLimit(bodyLimit)
{
    m_parser->parser.header_limit(static_cast<std::uint32_t>(headLimit));
    m_parser->parser.body_limit(bodyLimit);
    m_parser->parser.eager(true);
}

RequestParser::~RequestParser() = default;

bool RequestParser::isFramingUnambiguous() const
{
    const HeaderFields &fields = m_request.head.fields;
    const std::size_t lengthCount = fields.count("content-length");
    const std::size_t codingCount = fields.count("transfer-encoding");
    if (lengthCount + codingCount > 1 || fields.count("host") != 1)
        return false;
    const auto length = fields.find("content-length");
    if (length && length->find_first_not_of("0123456789") != std::string_view::npos)
        return false;
    const auto coding = fields.find("transfer-encoding");
    return !coding || equalsIgnoringCase(*coding, "chunked");
}

ParseState RequestParser::parseHead(std::string &input)
{
    const std::size_t searchStart = m_scannedBytes > 3 ? m_scannedBytes - 3 : 0;
    const std::size_t end = input.find("\r\n\r\n", searchStart);
    if (end == std::string::npos) {
        m_scannedBytes = input.size();
        return input.size() > m_headLimit ? ParseState::HeadTooLarge : ParseState::NeedsMore;
    }
    if (end + 4 > m_headLimit)
        return ParseState::HeadTooLarge;
    if (hasFoldedField(std::string_view(input).substr(0, end)))
        return ParseState::Malformed;
    std::string headBytes = input.substr(0, end + 4);
    const auto error = feedOnce(m_parser->parser, headBytes);
    if (error && error != http::error::need_more)
        return parseStateOf(error);
    if (!m_parser->parser.is_header_done())
        return ParseState::Malformed;
    input.erase(0, end + 4);
    const auto &message = m_parser->parser.get();
    RequestHead &head = m_request.head;
    head.method = std::string(message.method_string());
    head.target = std::string(message.target());
    head.fields = copyFields(message);
    head.isKeepAlive = message.keep_alive();
    const auto expectation = head.fields.find("expect");
    head.expectsContinue = expectation && equalsIgnoringCase(*expectation, "100-continue");
    if (!isFramingUnambiguous())
        return ParseState::Malformed;
    m_hasHead = true;
    return ParseState::HeadComplete;
}

std::size_t RequestParser::heldBytes() const
{
    return m_parser->parser.get().body().capacity();
}

ParseState RequestParser::feed(std::string &input)
{
    if (!m_hasHead) {
        const ParseState state = parseHead(input);
        if (state != ParseState::HeadComplete)
            return state;
        if (!m_parser->parser.is_done()
            && m_parser->parser.content_length().value_or(0) > m_bodyLimit)
            return ParseState::BodyTooLarge;
    }
    const ParseState state = feedBody(m_parser->parser, input);
    if (state == ParseState::Complete)
        m_request.body = std::move(m_parser->parser.get().body());
    return state;
}

namespace {

/// Checks what the parser library accepts although other readers interpret it differently. \p head
/// ends with an empty line.
bool isResponseHeadWellFormed(std::string_view head)
{
    const std::size_t statusLineSize = head.find("\r\n");
    if (!isFieldText(head.substr(0, statusLineSize)))
        return false;
    std::string_view lines = head.substr(statusLineSize + 2, head.size() - statusLineSize - 4);
    std::string_view name;
    std::string_view value;
    while (!lines.empty()) {
        if (!takeFieldLine(lines, name, value))
            return false;
    }
    return true;
}

/// 101 is no answer to a request of this node, which never asks for another protocol.
bool isInterimStatus(unsigned status)
{
    return status >= 100 && status < 200 && status != 101;
}

/// True if the end of the body is stated once and in the only ways that this node reads. An
/// interim response has no body.
template<typename Message>
bool isResponseFramingUnambiguous(const Message &message)
{
    const std::size_t lengthCount = message.count(http::field::content_length);
    const std::size_t codingCount = message.count(http::field::transfer_encoding);
    if (lengthCount + codingCount == 0)
        return true;
    if (lengthCount + codingCount > 1 || isInterimStatus(message.result_int()))
        return false;
    if (codingCount > 0)
        return message.version() >= 11
               && equalsIgnoringCase(message[http::field::transfer_encoding], "chunked");
    const auto length = message[http::field::content_length];
    return !length.empty() && std::all_of(length.begin(), length.end(), absl::ascii_isdigit);
}

} // namespace

struct ResponseParser::Parser
{
    http::response_parser<IncrementalBody> parser;
};

ResponseParser::ResponseParser(bool isHeadMethod)
    : m_isHeadMethod(isHeadMethod)
{
    reset();
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::reset()
{
    m_parser = std::make_unique<Parser>();
    m_parser->parser.header_limit(ResponseHeadLimit);
    m_parser->parser.body_limit(boost::none);
    m_parser->parser.eager(true);
    m_parser->parser.skip(m_isHeadMethod);
}

ParseState ResponseParser::parseHead(std::string &input)
{
    for (;;) {
        const std::size_t end = input.find("\r\n\r\n");
        if (end == std::string::npos) {
            // Detects bytes that cannot begin a response before the head is complete.
            const std::string_view expected = "HTTP/1.";
            const std::size_t size = std::min(input.size(), expected.size());
            if (input.compare(0, size, expected, 0, size) != 0)
                return ParseState::Malformed;
            return input.size() > ResponseHeadLimit ? ParseState::Malformed : ParseState::NeedsMore;
        }
        std::string headBytes = input.substr(0, end + 4);
        if (!isResponseHeadWellFormed(headBytes))
            return ParseState::Malformed;
        const auto error = feedOnce(m_parser->parser, headBytes);
        if ((error && error != http::error::need_more) || !m_parser->parser.is_header_done())
            return ParseState::Malformed;
        input.erase(0, end + 4);
        const auto &message = m_parser->parser.get();
        if (!isResponseFramingUnambiguous(message))
            return ParseState::Malformed;
        if (isFinalStatus(message.result_int()))
            break;
        if (!isInterimStatus(message.result_int()))
            return ParseState::Malformed;
        if (++m_interimCount > InterimResponseLimit)
            return ParseState::Malformed;
        reset();
    }
    const auto &message = m_parser->parser.get();
    m_head.status = message.result_int();
    m_head.reasonPhrase = std::string(message.reason());
    m_head.fields = copyFields(message);
    m_head.isKeepAlive = message.keep_alive();
    m_head.isCloseDelimited = message.need_eof() && !m_isHeadMethod;
    if (const auto length = m_parser->parser.content_length())
        m_head.contentLength = *length;
    m_hasHead = true;
    return ParseState::HeadComplete;
}

ParseState ResponseParser::feed(std::string &input, std::string &body)
{
    if (!m_hasHead) {
        const ParseState state = parseHead(input);
        if (state != ParseState::HeadComplete)
            return state;
    }
    const ParseState state = feedBody(m_parser->parser, input);
    std::string &piece = m_parser->parser.get().body();
    if (body.empty())
        body.swap(piece);
    else
        body += piece;
    piece.clear();
    return state;
}

bool ResponseParser::finishAtEndOfStream()
{
    if (!m_hasHead)
        return false;
    boost::system::error_code error;
    m_parser->parser.put_eof(error);
    return !error && m_parser->parser.is_done();
}

} // namespace godwitlift
