#pragma once

namespace zinc {

class DocumentRepository;
struct AcceptedDocument;

}
