#include "http/HttpMessage.h"

#include <cstdlib>

namespace gwt {

namespace {

std::string find(const HttpHeaders &headers, const std::string &name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

} // namespace

std::string percentDecode(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const std::string digits(text.substr(i + 1, 2));
            result += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

std::string HttpRequest::path() const
{
    return percentDecode(std::string_view(target).substr(0, target.find('?')));
}

std::string HttpRequest::queryValue(const std::string &name) const
{
    const auto start = target.find('?');
    if (start == std::string::npos)
        return {};
    std::string_view rest = std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percentDecode(pair.substr(equals + 1));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

std::string HttpRequest::header(const std::string &lowerCaseName) const
{
    return find(headers, lowerCaseName);
}

std::string HttpResponse::header(const std::string &lowerCaseName) const
{
    return find(headers, lowerCaseName);
}

HttpResponse HttpResponse::json(int status, std::string body)
{
    return {status, {{"content-type", "application/json"}}, std::move(body)};
}

HttpResponse HttpResponse::text(int status, std::string body)
{
    return {status, {{"content-type", "text/plain; charset=utf-8"}}, std::move(body)};
}

} // namespace gwt
