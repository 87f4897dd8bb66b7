/// \file
/// Metadata key and message size limit shared by the gRPC client and server of a peer connection.
#pragma once

namespace godwitlift {

/// gRPC metadata key under which a peer presents the secret of the mesh.
inline constexpr char MeshSecretMetadataKey[] = "godwitlift-mesh";
/// Largest message between nodes. A snapshot of the largest configuration that the mesh is designed
/// for is far smaller.
inline constexpr int MaxMessageBytes = 64 << 20;

} // namespace godwitlift
