class RequestCheckError(Exception):
    """Raised when the check of an open request has failed; the request has ended without a reply.

    ``key`` is the request's key.
    """

    def __init__(self, key: int, request_id: str) -> None:
        super().__init__(f"request {request_id}")
        self.key = key
        self.request_id = request_id
