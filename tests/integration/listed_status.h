#pragma once

namespace test_harness {

/// How the inventory or the discovery agent lists an endpoint.
enum class ListedStatus { Up, Draining, Removed };

}  // namespace test_harness
