/// \file
/// Heads of HTTP messages, and the rules for forwarding their header fields.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

/// One header field, its name as it was sent.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were sent.
class HeaderFields final
{
public:
    void add(std::string name, std::string value)
    {
        m_fields.push_back({ std::move(name), std::move(value) });
    }
    /// Value of the first field of that name, compared case-insensitively; none if absent.
    std::optional<std::string_view> find(std::string_view name) const;
    /// Values of all fields of that name, compared case-insensitively.
    std::vector<std::string_view> findAll(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::vector<HeaderField> &all() const { return m_fields; }

private:
    std::vector<HeaderField> m_fields;
};

/// Head of a request.
struct RequestHead
{
    std::string method;
    std::string target; ///< Path and query, byte for byte.
    HeaderFields fields;
    bool isKeepAlive = true;
    bool expectsContinue = false;
};

/// Memory that \p head occupies, approximately.
std::size_t heldBytes(const RequestHead &head);

/// A complete request.
struct HttpRequest
{
    RequestHead head;
    std::string body;
    /// IP address that the request came from; unspecified if the connection has ended.
    boost::asio::ip::address sourceAddress;
};

/// Head of a response.
struct ResponseHead
{
    unsigned status = 0;
    std::string reasonPhrase;
    HeaderFields fields;
    bool isKeepAlive = true;
    bool isCloseDelimited = false; ///< The body ends where the connection is closed.
    std::optional<std::uint64_t> contentLength;
};

/// True for the status of an answer that is no interim one, 200 to 599.
inline bool isFinalStatus(unsigned status)
{
    return status >= 200 && status < 600;
}

/// True for fields that apply to a single connection and are not forwarded. \p connectionValue is
/// the value of the message's `Connection` field, which can name further such fields.
bool isHopByHop(std::string_view fieldName, std::string_view connectionValue);

/// Appends the fields that are forwarded, as lines that end with CRLF. Leaves out hop-by-hop
/// fields, `Content-Length`, `Expect` and the fields named in \p excluded (compared
/// case-insensitively).
void appendEndToEndFields(const HeaderFields &fields, const std::vector<std::string_view> &excluded,
                          std::string &out);

/// Standard reason phrase of a status code.
std::string_view reasonPhrase(unsigned status);

/// Compares without regard to the case of ASCII letters.
bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace godwitlift
