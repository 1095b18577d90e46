/// Removes outdated entries from endpoint lists, by the revisions of the lists.
///
/// The module is pure and runs on one thread.
///
/// An old list may arrive after a new one, on one watch or from another agent that lags. Within one
/// epoch of revisions an entry that is older than the last event of its endpoint changes nothing.
/// An epoch is one count of revisions. A new epoch, with lower revisions, starts with another
/// address or when discovery was set up anew. Revisions of two epochs cannot be compared, so the
/// lists of a new epoch are accepted as they are, except for an endpoint that was draining or
/// removed: it counts as up once it has restarted, or once a later list of the new epoch lists it
/// as up.
#pragma once

#include "endpoint_list.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace gorsebeam::discovery {

/// The position of a list in its watch.
enum class ListOrder { FirstOfWatch, Later };

/// Holds the last event of each endpoint.
class RevisionFilter {
public:
  /// The number of removed endpoints that are remembered; those with the lowest revisions are
  /// forgotten first.
  static constexpr std::size_t kMaxRemovedEndpoints = 1024;

  /// Starts another count of revisions, that of another address.
  void start_new_epoch();

  /// The highest revision of this epoch; 0: none.
  [[nodiscard]] std::int64_t revision() const { return newest_revision_; }

  /// Removes the outdated entries from `list`. A complete list that is not the newest becomes an
  /// incomplete one, so that it removes no endpoint that it does not contain. A complete list that
  /// is the first of its watch and has a lower revision than the newest starts a new epoch.
  void remove_outdated(EndpointListDocument& list, ListOrder order);

private:
  struct LastWatchEvent {
    std::uint64_t epoch = 0;
    std::int64_t revision = 0;
    EndpointStatus status = EndpointStatus::Up;
    TimePoint started_at{};
    bool is_unlisted = false;  ///< Removed because a complete list did not contain it.
  };

  /// Records an entry of a list at `revision`, and corrects its status where an earlier event
  /// overrides it. Returns false if the entry is outdated.
  [[nodiscard]] bool record_entry(proxy::ListedEndpoint& entry, std::int64_t revision,
                                  bool is_newest);
  /// Whether the endpoint was draining or removed by `event` of an earlier epoch, is listed as up,
  /// and has not restarted since.
  [[nodiscard]] bool is_still_unavailable(const LastWatchEvent& event,
                                          const Endpoint& endpoint) const;
  void remove_unlisted(const std::set<std::string>& listed_names, std::int64_t revision);
  void forget_removed();

  std::map<std::string, LastWatchEvent> last_events_;  // by the endpoint's name
  std::uint64_t epoch_ = 0;
  std::int64_t newest_revision_ = 0;  // of this epoch
};

}  // namespace gorsebeam::discovery
