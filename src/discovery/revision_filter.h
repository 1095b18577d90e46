/// Removes outdated entries from endpoint lists, by the revisions of the lists.
///
/// The module is pure and runs on one thread.
///
/// An old list may arrive after a new one: on one watch, or from another agent that is behind.
/// Within one epoch of revisions an entry that is older than the last event of its endpoint changes
/// nothing. An epoch is one count of revisions; a new one starts, lower than before, with another
/// address or when discovery was set up anew. Revisions of two epochs cannot be compared, so a new
/// epoch is taken as it is, except for an endpoint that was draining or removed: it is back once it
/// has restarted, or once a later list of the new epoch names it as up.
#pragma once

#include "endpoint_list.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace gorsebeam::discovery {

/// Where in its watch a list stands.
enum class ListOrder { FirstOfWatch, Later };

/// Holds the last event of each endpoint.
class RevisionFilter {
public:
  /// Removed endpoints that are remembered; the ones with the lowest revisions are forgotten first.
  static constexpr std::size_t kMaxRemovedEndpoints = 1024;

  /// Starts another count of revisions, that of another address.
  void start_new_epoch();

  /// The highest revision of this epoch; 0: none.
  [[nodiscard]] std::int64_t revision() const { return newest_revision_; }

  /// Leaves in `list` only what is news. A complete list that is not the newest becomes an
  /// incomplete one, so that it removes no endpoint that it leaves out. A complete list that is the
  /// first of its watch and has a lower revision than the newest starts a new epoch.
  void remove_outdated(EndpointListDocument& list, ListOrder order);

private:
  struct LastWatchEvent {
    std::uint64_t epoch = 0;
    std::int64_t revision = 0;
    EndpointStatus status = EndpointStatus::Up;
    TimePoint started_at{};
    bool left_out = false;  ///< Removed because a complete list did not name it.
  };

  /// Whether an entry of a list at `revision` is news; adjusts the entry and the last event.
  [[nodiscard]] bool record_entry(proxy::ListedEndpoint& entry, std::int64_t revision,
                                  bool is_newest);
  /// Whether `event` of an earlier epoch says that the endpoint leaves, and it has not restarted.
  [[nodiscard]] bool is_still_leaving(const LastWatchEvent& event, const Endpoint& endpoint) const;
  void remove_unlisted(const std::set<std::string>& listed_names, std::int64_t revision);
  void forget_removed();

  std::map<std::string, LastWatchEvent> last_events_;  // by the endpoint's name
  std::uint64_t epoch_ = 0;
  std::int64_t newest_revision_ = 0;  // of this epoch
};

}  // namespace gorsebeam::discovery
