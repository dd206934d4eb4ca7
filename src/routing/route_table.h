// Which route a request takes: by path, method and headers; the longest match wins. Pure. A trie by segments
// of the path: the cost of a look-up grows with the path, not with the number of routes.
//
// A pattern is segments behind slashes: a word matches itself, `:name` any one segment, and `/*` at the end
// whatever follows (also nothing). Before others comes, segment by segment from the left, the word, then
// `:name`, then `/*`; of routes with the same pattern the one with more conditions (method, headers), then
// the one that was added first.
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
    std::string path;                                          // the pattern, beginning with a slash
    std::vector<std::string> methods;                          // any where it is empty
    std::vector<std::pair<std::string, std::string>> headers;  // each there with that value
    std::uint64_t target = 0;                                  // the owner's own
};

// What a header's value is; nothing where the request has none of that name.
using HeaderLookup = std::function<std::optional<std::string_view>(std::string_view)>;

struct RouteMatch {
    const Route* route = nullptr;
    std::vector<std::pair<std::string_view, std::string_view>>
        parameters;  // of `:name` segments; views of pattern and path
};

class RouteTable {
public:
    RouteTable();
    ~RouteTable();
    RouteTable(RouteTable&&) noexcept;
    RouteTable& operator=(RouteTable&&) noexcept;

    // What is wrong with a pattern; nothing where all is well.
    static std::optional<std::string> patternError(std::string_view path);
    // Throws std::invalid_argument with that. One with the same path, methods and headers as an earlier one
    // could never be taken: it is returned, and the new one not added.
    const Route* add(Route route);
    std::optional<RouteMatch> find(std::string_view path, std::string_view method,
                                   const HeaderLookup& header) const;
    std::size_t size() const { return size_; }

    static constexpr std::size_t kMaxSegments = 64;  // of a path; a longer one is matched by no route

private:
    struct Node;
    std::unique_ptr<Node> root_;
    std::size_t size_ = 0;
};

// The same by looking at each route in turn: what the trie is held against, in tests and benchmarks.
std::optional<RouteMatch> findByLinearSearch(const std::vector<Route>& routes, std::string_view path,
                                             std::string_view method, const HeaderLookup& header);

}  // namespace cottonwing::routing
