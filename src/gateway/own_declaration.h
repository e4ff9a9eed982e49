#pragma once

#include "admission/instance_listing.h"

#include <vector>

namespace lycheefield {

/// What this instance's object in the store is known to declare, while writes of it may be late, lost or executed without a response.
///
/// A role counts as declared only where no earlier or later state of the object that this process has caused, and that others may read from now on, lacks it.
/// Performs no I/O. Not thread safe.
class OwnDeclaration {
public:
    /// A write with this declaration is sent.
    void recordSent(const RoleDeclaration&);
    /// That write has succeeded. No earlier one can be executed any more, as each names an earlier version of the object. Returns whether a role
    /// has been added.
    bool recordWritten(const RoleDeclaration&);
    /// The store has come back from an older copy, which may hold an older object.
    void forget() { m_written = {}; }
    /// Whether the last write that was sent has this declaration.
    bool isLatest(const RoleDeclaration&) const;
    /// What holds of the declaration that a list shows: the list may have been read before a later write.
    RoleDeclaration confirmed(const RoleDeclaration& listed) const;

private:
    RoleDeclaration m_written; ///< By the last write that succeeded.
    std::vector<RoleDeclaration> m_unconfirmed; ///< By the writes since; any may be executed yet.
};

}
