/// \file
/// Wire form of the decision library's messages.
#pragma once

#include "godwitlift/adapters/AnswerSink.h"
#include "godwitlift/distribution/PeerMessages.h"
#include "peer.pb.h"

#include <optional>

namespace godwitlift {

/// Whole milliseconds within the wire type's range.
std::uint32_t wireMilliseconds(absl::Duration duration);

wire::Envelope toWire(const PeerMessage &message);
/// Empty for a message that is not understood or exceeds its bounds.
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
