#include "comfreyvane/wire/spread_codec.h"

#include <utility>

#include "comfreyvane/wire/json_archive.h"

namespace comfreyvane {

namespace wire {

template <>
struct EnumRange<ApplyStatus> {
  static constexpr auto kLast = ApplyStatus::kBusy;
};

template <>
struct Fields<Section> {
  static void List(auto& archive, auto& object) {
    archive("key", object.key);
    archive("text", object.text);
  }
};

template <>
struct Fields<SectionChange> {
  static void List(auto& archive, auto& object) {
    archive("key", object.key);
    archive("text", object.text);
  }
};

// A document travels as its sections.
template <>
struct Fields<SectionedDocument> {
  static void List(JsonWriter& writer, const SectionedDocument& document) {
    std::vector<Section> sections;
    for (const auto& section : document.sections())
      sections.push_back(*section);
    writer("sections", sections);
  }

  static void List(JsonReader& reader, SectionedDocument& document) {
    std::vector<Section> sections;
    reader("sections", sections);
    document = SectionedDocument(std::move(sections));
  }
};

template <>
struct Fields<ConfigurationDocument> {
  static void List(auto& archive, auto& object) {
    archive("revision", object.revision);
    archive("document", object.document);
  }
};

template <>
struct Fields<ConfigurationDelta> {
  static void List(auto& archive, auto& object) {
    archive("from", object.from);
    archive("to", object.to);
    archive("digest", object.digest);
    archive("changes", object.changes);
  }
};

template <>
struct Fields<DomainConfirmation> {
  static void List(auto& archive, auto& object) {
    archive("domain", object.domain);
    archive("lowest", object.lowest);
    archive("newest", object.newest);
    archive("laggards", object.laggards);
  }
};

template <>
struct Fields<RevisionNotice> {
  static void List(auto& archive, auto& object) {
    archive("incarnation", object.incarnation);
    archive("held", object.held);
    archive("digest", object.digest);
    archive("in_force", object.in_force);
    archive("proved", object.proved);
    archive("question", object.question);
    archive("answer", object.answer);
    archive("confirmations", object.confirmations);
  }
};

template <>
struct Fields<RevisionRequest> {
  static void List(auto& archive, auto& object) {
    archive("held", object.held);
    archive("digest", object.digest);
  }
};

template <>
struct Fields<DeltaChain> {
  static void List(auto& archive, auto& object) {
    archive("deltas", object.deltas);
  }
};

template <>
struct Fields<FullDocument> {
  static void List(auto& archive, auto& object) {
    archive("document", object.document);
  }
};

template <>
struct Fields<Acceptor> {
  static void List(auto& archive, auto& object) {
    archive("host", object.host);
    archive("incarnation", object.incarnation);
  }
};

template <>
struct Fields<AcceptorSet> {
  static void List(auto& archive, auto& object) {
    archive("epoch", object.epoch);
    archive("acceptors", object.acceptors);
  }
};

template <>
struct Fields<AcceptorStatement> {
  static void List(auto& archive, auto& object) {
    archive("acceptor", object.acceptor);
    archive("set", object.set);
    archive("revision", object.revision);
    archive("pending_keys", object.pending_keys);
    archive("age", object.age);
  }
};

template <>
struct Fields<HeadRow> {
  static void List(auto& archive, auto& object) {
    archive("revision", object.revision);
    archive("digest", object.digest);
  }
};

template <>
struct Fields<StoreEvidence> {
  static void List(auto& archive, auto& object) {
    archive("head", object.head);
    archive("age", object.age);
  }
};

template <>
struct Fields<FreshnessQuestion> {
  static void List(auto& archive, auto& object) {
    archive("number", object.number);
    archive("epoch", object.epoch);
  }
};

template <>
struct Fields<FreshnessAnswer> {
  static void List(auto& archive, auto& object) {
    archive("number", object.number);
    archive("store", object.store);
    archive("statements", object.statements);
    archive("acceptors", object.acceptors);
  }
};

template <>
struct Fields<OperatorRequest> {
  static void List(auto& archive, auto& object) {
    archive("id", object.id);
    archive("base", object.base);
    archive("document", object.document);
    archive("withdrawn_keys", object.withdrawn_keys);
  }
};

template <>
struct Fields<ApplyResult> {
  static void List(auto& archive, auto& object) {
    archive("request_id", object.request_id);
    archive("status", object.status);
    archive("base", object.base);
    archive("revision", object.revision);
  }
};

template <>
struct Alternative<RevisionNotice> {
  static constexpr char kName[] = "notice";
};

template <>
struct Alternative<RevisionRequest> {
  static constexpr char kName[] = "request";
};

template <>
struct Alternative<DeltaChain> {
  static constexpr char kName[] = "deltas";
};

template <>
struct Alternative<FullDocument> {
  static constexpr char kName[] = "full";
};

template <>
struct Alternative<FreshnessQuestion> {
  static constexpr char kName[] = "question";
};

template <>
struct Alternative<FreshnessAnswer> {
  static constexpr char kName[] = "answer";
};

}  // namespace wire

Json::Value ToJson(const SpreadMessage& message) {
  return wire::JsonWriter::Write(message);
}

boost::leaf::result<SpreadMessage> SpreadMessageFromJson(
    const Json::Value& json) {
  return wire::ReadJson<SpreadMessage>(json);
}

Json::Value ToJson(const FreshnessMessage& message) {
  return wire::JsonWriter::Write(message);
}

boost::leaf::result<FreshnessMessage> FreshnessMessageFromJson(
    const Json::Value& json) {
  return wire::ReadJson<FreshnessMessage>(json);
}

Json::Value ToJson(const OperatorRequest& request) {
  return wire::JsonWriter::Write(request);
}

boost::leaf::result<OperatorRequest> OperatorRequestFromJson(
    const Json::Value& json) {
  return wire::ReadJson<OperatorRequest>(json);
}

Json::Value ToJson(const ApplyResult& result) {
  return wire::JsonWriter::Write(result);
}

boost::leaf::result<ApplyResult> ApplyResultFromJson(const Json::Value& json) {
  return wire::ReadJson<ApplyResult>(json);
}

}  // namespace comfreyvane
