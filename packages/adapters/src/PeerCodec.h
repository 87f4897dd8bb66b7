/// \file
/// Conversion of peer messages and forwarded calls to and from their protobuf form.
#pragma once

#include "godwitlift/adapters/AnswerSink.h"
#include "godwitlift/distribution/PeerMessages.h"
#include "peer.pb.h"

#include <optional>

namespace godwitlift {

/// Converts to whole milliseconds, clamped to the range of the wire type.
std::uint32_t toWireMilliseconds(absl::Duration duration);

wire::Envelope toWire(const PeerMessage &message);
/// Returns nothing if the message is of an unknown kind or exceeds the size limits of its kind.
std::optional<PeerMessage> fromWire(const wire::Envelope &envelope);

wire::CallRequest toWire(const ForwardedCall &call);
ForwardedCall fromWire(wire::CallRequest request);

wire::AnswerFrame toWire(const AnswerHead &head);
wire::AnswerFrame toWire(const AnswerEnd &end);
wire::AnswerFrame toWire(const AnswerRefusal &refusal);
AnswerHead fromWire(const wire::AnswerHead &head);
AnswerEnd fromWire(const wire::AnswerEnd &end);
AnswerRefusal fromWire(const wire::AnswerRefusal &refusal);

} // namespace godwitlift
