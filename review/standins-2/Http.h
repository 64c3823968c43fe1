// Small blocking HTTP/1.1 server and client on loopback addresses, one thread for each connection.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace standins {

struct Request {
    std::string method;
    std::string target; ///< path and query
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct Response {
    int status = 0; ///< of a client's call: 0 if there was no complete response
    std::string body;
    std::map<std::string, std::string> headers;
};

/** @brief Value of a field of the query, decoded. */
std::string queryField(const std::string& target, const std::string& name);

/** @brief Serves one address. A handler that returns nothing leaves the call unanswered, and its channel silent. */
class Server {
public:
    using Handler = std::function<std::optional<Response>(const Request&)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
    }
    /** @param port 0 chooses one on the first call; later calls use it again. */
    bool listenOn(const std::string& ip, std::uint16_t port = 0);
    /** @brief Closes the port and resets all channels, as the end of a process does. */
    void close();
    std::uint16_t port() const { return m_port; }

private:
    void accept(int listener, const std::string& ip);
    void serve(int channel);

    Handler m_handler;
    std::uint16_t m_port = 0;
    std::mutex m_mutex;
    int m_listener = -1;
    std::set<int> m_channels;
};

/** @brief A client's open channel, which stays with its machine. */
class Channel {
public:
    Channel(const std::string& ip, std::uint16_t port);
    ~Channel();
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    /** @param limitMs the caller waits no longer than this. */
    Response call(const Request& request, int limitMs);

private:
    int m_channel = -1;
    std::string m_received;
};

/** @brief One call on a channel of its own. @param limitMs the caller waits no longer than this. */
Response call(const std::string& ip, std::uint16_t port, const Request& request, int limitMs);

/** @brief Whether nothing listens at the address. */
bool isFree(const std::string& ip, std::uint16_t port);

} // namespace standins
