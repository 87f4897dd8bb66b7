/// \file
/// Names and bounds that both ends of a peer connection share.
#pragma once

namespace godwitlift {

/// Metadata key under which a peer presents the mesh's secret.
inline constexpr char MeshSecretKey[] = "godwitlift-mesh";
/// Largest message between nodes in bytes; a snapshot at the target size is far below.
inline constexpr int MessageLimitBytes = 64 << 20;

} // namespace godwitlift
