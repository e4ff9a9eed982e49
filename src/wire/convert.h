#pragma once

#include "base/error.h"
#include "base/time.h"
#include "wire/frame_codec.h"
#include "wire/peer_message.h"

namespace lycheefield::wire {

class Envelope;

/// Fills the body field of the envelope for this kind of message.
void toEnvelope(const PeerMessage&, TimePoint now, Envelope&);

/// Returns the message in the only body field that is set, moving the envelope's strings. An error of
/// kind NotFound when no known body field is set; of kind InvalidInput when several are, or when a value
/// is out of range. Times in the message count from when its frame was sent.
Result<PeerMessage> fromEnvelope(Envelope&, const SendTime&, const FrameLimits&);

}
