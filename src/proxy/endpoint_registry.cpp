#include "endpoint_registry.h"

#include <set>
#include <string>
#include <utility>

namespace gorsebeam::proxy {

EndpointList EndpointRegistry::apply(EndpointList::Kind kind,
                                     const std::vector<ListedEndpoint>& endpoints,
                                     Upstream& upstream) {
  // If removed endpoints may serve, an endpoint that is removed without a drain may still get
  // requests. It therefore stays known.
  const bool removal_is_binding = !settings_.removed_endpoints_may_serve;
  // A full list can omit an endpoint that was never listed as removed. Its connections and table
  // entries must not stay behind.
  if (kind == EndpointList::Kind::Full && removal_is_binding)
    remove_unlisted(endpoints, upstream);
  directory_.forget_released([this](EndpointId endpoint) {
    return router_.knows_endpoint(endpoint);
  });
  EndpointList list;
  list.kind = kind;
  for (const ListedEndpoint& listed : endpoints) {
    Endpoint endpoint = listed.endpoint;
    endpoint.id = directory_.assign_id(listed.name);
    guard_.record_listed(endpoint.id, endpoint.group, endpoint.status);
    if (endpoint.status != EndpointStatus::Removed)
      upstream.add_endpoint(endpoint.id, listed.address);
    else if (removal_is_binding)
      remove(endpoint.id, upstream);
    list.endpoints.push_back(std::move(endpoint));
  }
  return list;
}

void EndpointRegistry::remove_unlisted(const std::vector<ListedEndpoint>& endpoints,
                                       Upstream& upstream) {
  std::set<std::string> listed_names;
  for (const ListedEndpoint& listed : endpoints)
    listed_names.insert(listed.name);
  for (const EndpointId endpoint : directory_.ids_except(listed_names))
    remove(endpoint, upstream);
}

void EndpointRegistry::remove(EndpointId endpoint, Upstream& upstream) {
  upstream.remove_endpoint(endpoint);
  guard_.record_unlisted(endpoint);
  directory_.release_id(endpoint);
}

}  // namespace gorsebeam::proxy
