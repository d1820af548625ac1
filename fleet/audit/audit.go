package audit
