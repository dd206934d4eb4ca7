/// @file
/// Finds the route of a request by path, method and headers; the longest match wins. Pure. The table is a
/// trie over the segments of the path: the cost of a lookup grows with the path, not with the number of
/// routes.
///
/// A pattern is a sequence of segments, each after a slash: a literal matches itself, `:name` any one
/// segment, and `/*` at the end any remainder, also an empty one. Precedence, segment by segment from the
/// left: the literal, then `:name`, then `/*`; of routes with the same pattern the one with more conditions
/// (method, headers), then the one that was added first.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cottonwing::routing {

struct Route {
    std::string path;                                          ///< The pattern; begins with a slash.
    std::vector<std::string> methods;                          ///< Empty: any method.
    std::vector<std::pair<std::string, std::string>> headers;  ///< All required, each with this value.
    std::uint64_t target = 0;                                  ///< Meaning defined by the caller.
};

/// Returns the value of a header; no value if the request has no header of that name.
using HeaderLookup = std::function<std::optional<std::string_view>(std::string_view)>;

struct RouteMatch {
    const Route* route = nullptr;
    /// Names and values of the `:name` segments; views into the pattern and the path.
    std::vector<std::pair<std::string_view, std::string_view>> parameters;
};

class RouteTable {
public:
    RouteTable();
    ~RouteTable();
    RouteTable(RouteTable&&) noexcept;
    RouteTable& operator=(RouteTable&&) noexcept;

    /// @return what is wrong with a pattern; no value if it is valid.
    static std::optional<std::string> patternError(std::string_view path);

    /// Adds a route, unless an earlier one with the same path, methods and headers would always match first.
    /// @return that earlier route, or nullptr if the route was added.
    /// @throws std::invalid_argument with the pattern error.
    const Route* add(Route route);

    std::optional<RouteMatch> find(std::string_view path, std::string_view method,
                                   const HeaderLookup& header) const;
    std::size_t size() const { return size_; }

    static constexpr std::size_t kMaxSegments = 64;  ///< Of a path; a longer one matches no route.

private:
    struct Node;
    std::unique_ptr<Node> root_;
    std::size_t size_ = 0;
};

/// Finds the same route by examining each route in turn: the reference for tests and benchmarks.
std::optional<RouteMatch> findByLinearSearch(const std::vector<Route>& routes, std::string_view path,
                                             std::string_view method, const HeaderLookup& header);

}  // namespace cottonwing::routing
