#pragma once

#include "base/error.h"
#include "base/time.h"
#include "wire/frame_codec.h"
#include "wire/peer_message.h"

namespace lycheefield::wire {

class Envelope;

/// Fills the one body field that the message goes into.
void toEnvelope(const PeerMessage&, TimePoint now, Envelope&);

/// The message of the one body field that is set; an error when there is none, more than one, or
/// a value lies out of its range. The envelope's strings are moved out.
Result<PeerMessage> fromEnvelope(Envelope&, TimePoint now, const FrameLimits&);

}
