#include "rillwall/scale_record.h"

#include "json_array.h"

namespace rillwall {

namespace {

ScaleOrder OrderFrom(JsonReader& aReader) {
  ScaleOrder order;
  order.mZone = aReader.String("zone");
  order.mSpot = aReader.Bool("spot");
  order.mCount = aReader.Int("count");
  if (order.mCount < 0) {
    aReader.Fail("count", "must be 0 or more");
  }
  return order;
}

}  // namespace

std::string EncodeScaleRecord(const ScaleRecord& aRecord) {
  json::array orders;
  for (const ScaleOrder& order : aRecord.mOrders) {
    json::object row;
    row["zone"] = order.mZone;
    row["spot"] = order.mSpot;
    row["count"] = order.mCount;
    orders.push_back(std::move(row));
  }
  json::object object;
  object["orders"] = std::move(orders);
  object["usual_slots"] = aRecord.mNeed.mUsual;
  object["least_slots"] = aRecord.mNeed.mLeast;
  object["texts_by_trainer"] = aRecord.mNeed.mTextsByTrainer;
  object["texts_at_once"] = aRecord.mNeed.mTextsAtOnce;
  return json::serialize(object);
}

Result<ScaleRecord> DecodeScaleRecord(const std::string& aService,
                                      std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object, "orders of replicas");
  ScaleRecord record;
  record.mOrders = ReadArray(reader, "orders", OrderFrom);
  for (ScaleOrder& order : record.mOrders) {
    order.mService = aService;
  }
  record.mNeed = {reader.Int("usual_slots"), reader.Int("least_slots"),
                  reader.Int("texts_by_trainer"), reader.Int("texts_at_once")};
  if (reader.Failed()) {
    return reader.Failure();
  }
  return record;
}

std::string ScaleKey(const std::string& aService) {
  return "rillwall/scale/" + aService;
}

}  // namespace rillwall
