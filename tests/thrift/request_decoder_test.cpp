// The request decoder: the meaning of each field, and the exact text of each error, which clients receive.
#include "thrift/request_decoder.h"

#include <gtest/gtest.h>

namespace cottonwing::thrift {
namespace {

using namespace std::chrono_literals;

constexpr Timestamp kNow = 1764576000123ms;
constexpr int kReadClass = 0;
constexpr int kKeyedClass = 1;

RequestDecoder decoder(bool timeoutRequired = true) {
    RequestClass read;
    read.idempotency = Idempotency::Idempotent;
    read.timeout = 8s;
    RequestClass keyed = read;
    keyed.idempotency = Idempotency::WithKey;
    config::NameTables names;
    names.requestClasses = {{"read", kReadClass}, {"keyed", kKeyedClass}};
    names.tenants = {{"acme", 0}, {"other", 1}};
    return {names, {read, keyed}, timeoutRequired};
}

Message message() {
    Message message;
    message.method = Method::Serve;
    message.fields = Fields{
        {"route", "read"},     {"trace", "9b1f03aa5c7e2d41"}, {"born", "1764576000100"}, {"client", "4"},
        {"customer", "other"}, {"patience", "480"},           {"weight", "12.50"},       {"size", "24.5"},
        {"order", "0.6250"},   {"nonce", "the-key"},          {"unknown", "ignored"}};
    message.body = "body";
    return message;
}

request::IncomingRequest decoded(const Message& message, bool timeoutRequired = true) {
    return std::get<request::IncomingRequest>(decoder(timeoutRequired).decode(message, kNow));
}

std::string errorOf(const Message& message) {
    const auto result = decoder().decode(message, kNow);
    const auto* const error = std::get_if<RequestError>(&result);
    return error == nullptr ? "no error" : textOf(*error);
}

std::string errorWith(const std::string& field, const std::string& value) {
    Message changed = message();
    changed.fields->insert_or_assign(field, value);
    return errorOf(changed);
}

std::string errorWithout(const std::string& field) {
    Message changed = message();
    changed.fields->erase(field);
    return errorOf(changed);
}

TEST(RequestDecoder, DecodesAllFields) {
    const request::IncomingRequest incoming = decoded(message());
    const Request& request = incoming.request;
    EXPECT_EQ(request.id, 0x9b1f03aa5c7e2d41U);
    EXPECT_EQ(request.requestClass, kReadClass);
    EXPECT_EQ(request.tenant, 1);
    EXPECT_EQ(request.deadline, 1764576000580ms);
    EXPECT_EQ(request.queuedBeforeRead, 23ms);
    EXPECT_EQ(request.expectedWork, 12500us);
    EXPECT_EQ(request.memoryKb, 24.5);
    EXPECT_EQ(request.rank, 0.625);
    EXPECT_FALSE(request.isRetry);
    EXPECT_EQ(incoming.externalId, "9b1f03aa5c7e2d41");
    EXPECT_EQ(incoming.body, "body");
    EXPECT_TRUE(incoming.idempotencyKey.empty());
}

TEST(RequestDecoder, LeavesOptionalFieldsAtTheirDefaults) {
    Message plain = message();
    for (const char* field : {"client", "customer", "weight", "order", "nonce"}) plain.fields->erase(field);
    const Request request = decoded(plain).request;
    EXPECT_EQ(request.tenant, -1);
    EXPECT_FALSE(request.expectedWork);
    EXPECT_EQ(request.rank, 0);
}

TEST(RequestDecoder, DefaultsToTheTimeoutOfTheClass) {
    Message plain = message();
    plain.fields->erase("patience");
    EXPECT_EQ(decoded(plain, false).request.deadline, 1764576008100ms);
    EXPECT_EQ(errorOf(plain), "patience: milliseconds were expected");
}

TEST(RequestDecoder, CapsTheExpectedWorkAtTheTimeoutOfTheClass) {
    Message heavy = message();
    heavy.fields->insert_or_assign("weight", "1e300");
    EXPECT_EQ(decoded(heavy).request.expectedWork, 8s);
}

TEST(RequestDecoder, MarksARetry) {
    Message retry = message();
    retry.fields->insert_or_assign("redo", "1");
    EXPECT_TRUE(decoded(retry).request.isRetry);
}

TEST(RequestDecoder, ScopesKeysToClassAndTenant) {
    Message keyed = message();
    keyed.fields->insert_or_assign("route", "keyed");
    EXPECT_EQ(decoded(keyed).idempotencyKey, "1/1/the-key");
    keyed.fields->insert_or_assign("customer", "acme");
    EXPECT_EQ(decoded(keyed).idempotencyKey, "1/0/the-key");
}

TEST(RequestDecoder, AnArrivalTimeInTheFutureMeansNoQueueing) {
    Message early = message();
    early.fields->insert_or_assign("born", "1764576001123");
    EXPECT_EQ(decoded(early).request.queuedBeforeRead, 0ns);
}

TEST(RequestDecoder, HasAStableTextForEachError) {
    Message withoutFields = message();
    withoutFields.fields.reset();
    Message withoutBody = message();
    withoutBody.body.reset();
    Message longBody = message();
    longBody.body = std::string(2049, 'x');
    Message keyed = message();
    keyed.fields->insert_or_assign("route", "keyed");
    keyed.fields->insert_or_assign("nonce", std::string(65, 'k'));
    EXPECT_EQ(errorOf(withoutFields), "fields and body are needed");
    EXPECT_EQ(errorOf(withoutBody), "fields and body are needed");
    EXPECT_EQ(errorOf(longBody), "the body is longer than 2048 bytes");
    EXPECT_EQ(errorOf(keyed), "nonce: an idempotency key was expected");
    EXPECT_EQ(errorWithout("route"), "route: not a profile");
    EXPECT_EQ(errorWith("route", "write"), "route: not a profile");
    EXPECT_EQ(errorWith("customer", "nobody"), "customer: not a customer");
    EXPECT_EQ(errorWith("trace", "12"), "trace: 16 hex digits were expected");
    EXPECT_EQ(errorWith("redo", "2"), "redo: 1 was expected");
    EXPECT_EQ(errorWith("client", "-1"), "client: a number of 0 or more was expected");
    EXPECT_EQ(textOf(RequestError::RequestInProgress), "trace: in hand already");
}

TEST(RequestDecoder, RejectsTimesOutOfRange) {
    for (const char* value : {"", "1e3", "0", "-5", "2305843009214"})
        EXPECT_EQ(errorWith("born", value), "born: Unix milliseconds were expected") << value;
    for (const char* value : {"1000", "1764575990000", "1764576001124"})
        EXPECT_EQ(errorWith("born", value), "born: a time near the present was expected") << value;
    for (const char* value : {"9300000000000", "", "-4", "8001", "x"})
        EXPECT_EQ(errorWith("patience", value), "patience: milliseconds were expected") << value;
}

TEST(RequestDecoder, RejectsNumbersOutOfRange) {
    for (const char* value : {"", "0", "-1", "2000", "nan", "1kb"})
        EXPECT_EQ(errorWith("size", value), "size: kilobytes were expected") << value;
    for (const char* value : {"-1", "nan", "inf", "1e400"})
        EXPECT_EQ(errorWith("weight", value), "weight: milliseconds were expected") << value;
    for (const char* value : {"-0.1", "1", "x"})
        EXPECT_EQ(errorWith("order", value), "order: a number from 0 to under 1 was expected") << value;
}

}  // namespace
}  // namespace cottonwing::thrift
